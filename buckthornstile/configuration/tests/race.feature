Feature: Operators race

  Scenario: Two operators change the same revision
    Given two operators who read the same revision
    When both append a change
    Then the first is accepted and the second is told of the conflict
    And every reader gives the same revision

  Scenario: An answer is lost after the change took effect
    Given two operators who read the same revision
    When the first appends a change and its answer is lost
    Then the first finds its change in the store
    And every reader gives the same revision

  Scenario: A change is carried out late
    Given two operators who read the same revision
    When the first's append is carried out after the second's
    Then only the second's change is accepted
    And every reader gives the same revision
