Feature: A non-idempotent request runs at most once, and "not run" is true

  Scenario Outline: A caller retries a blade order whose answer it never saw
    Given the first attempt at the home agent was <first>
    When the caller retries <age> seconds later through another entry whose view has been stable for <stable> seconds
    Then the order has run <runs> time(s) in all
    And the retry is answered with <answer>

    Examples:
      | first                  | age | stable | runs | answer                 |
      | never received         | 5   | 100    | 1    | a run                  |
      | never received         | 5   | 4      | 0    | may have run           |
      | never received         | 200 | 190    | 0    | may have run           |
      | queued                 | 5   | 100    | 1    | may have run           |
      | started                | 5   | 100    | 1    | may have run           |
      | finished               | 5   | 100    | 1    | the first answer       |
      | finished, then dropped | 5   | 100    | 1    | may have run           |
      | failed midway          | 5   | 100    | 1    | may have run           |
      | refused unseen         | 5   | 100    | 1    | a run                  |

  Scenario Outline: An entry asks what became of a request before it sends it elsewhere
    Given a request that is <state>
    When the entry seals it
    Then the verdict is <verdict>
    And it never starts afterwards if the verdict was not_run

    Examples:
      | state          | verdict      |
      | never received | not_run      |
      | queued         | not_run      |
      | started        | may_have_run |
      | finished       | ran          |
      | failed midway  | may_have_run |

  Scenario: The home agent restarts between an order and its retry
    Given the order ran at the home agent
    When the home agent restarts and the caller retries 5 seconds later
    Then the order has run 1 time(s) in all
    And the retry is answered with may have run

  Scenario: The order ran at the deputy agent, which then restarts
    Given the order ran at the deputy agent while the home agent could not be reached
    When the deputy restarts and the caller retries at the home agent 5 seconds later
    Then the order has run 1 time(s) in all
    And the retry is answered with may have run
