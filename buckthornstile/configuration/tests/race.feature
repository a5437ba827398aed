Feature: Operators race

  Scenario: Two operators change the same revision
    Given two operators who read the same revision
    When both append a change
    Then the first is accepted and the second is told of the conflict
    And every reader gives the same revision

  Scenario: An answer is lost after the change took effect
    Given two operators who read the same revision
    When the first appends the same change 3 times
    Then one revision is made and each further append says it was accepted before

  Scenario: A change is repeated with a newer base after it was accepted
    Given two operators who read the same revision
    When the first appends a change and repeats it with a newer base
    Then one revision is made and each further append says it was accepted before
