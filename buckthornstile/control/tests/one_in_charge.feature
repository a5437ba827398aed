Feature: The platform never gets orders from two processes that both believe they are in charge

  Scenario Outline: A holder loses the lease while a write waits
    When <fault>
    Then the platform saw one process in charge at a time
    And no order was carried out twice

    Examples:
      | fault                                                     |
      | the holder is paused right before an order                |
      | the holder is paused right before a report                |
      | the holder reads its own renewal back very late           |
      | the holder's renewals no longer reach the log             |
      | a claim lands after a renewal that it had not seen        |

  Scenario: A claim takes effect an hour after it was sent
    When a claim takes effect an hour late
    Then its claimer does not act on it
    And the platform saw one process in charge at a time

  Scenario Outline: An order's answer is lost
    When an order is <effect> and <fault>
    Then the wished upstream was started once
    And nothing was ordered while the outcome was unknown

    Examples:
      | effect                        | fault                      |
      | carried out without an answer | the holder lives on        |
      | carried out without an answer | the holder dies            |
      | carried out without an answer | the platform's list is out |
      | carried out late              | the holder lives on        |
      | carried out late              | the holder dies            |
      | lost                          | the holder lives on        |
      | lost                          | the holder dies            |

  Scenario Outline: The holder dies between intent, send and answer
    When the holder dies <moment>
    Then the wished upstream was started once
    And the platform saw one process in charge at a time

    Examples:
      | moment                      |
      | before its intent           |
      | after its intent            |
      | before it sends the order   |
      | after it has sent the order |
      | before its outcome          |
