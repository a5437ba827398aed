Feature: Operators make concurrent changes

  Scenario: Two operators change the same revision
    Given two operators who have read the same revision
    When both append a change
    Then the first change is accepted and the second is rejected as a conflict
    And all readers have the same revision

  Scenario: The response to an append is lost after the change took effect
    Given two operators who have read the same revision
    When the first operator appends a change and the response is lost
    Then the first operator finds the change in the store
    And all readers have the same revision

  Scenario: The store executes an append late
    Given two operators who have read the same revision
    When the first operator's append is executed after the second's
    Then only the second operator's change is accepted
    And all readers have the same revision
