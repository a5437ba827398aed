Feature: The platform's answers may be lost after taking effect
  An adapter says honestly whether a failed call may have taken effect.

  Scenario Outline: A failed append says whether it may be in the log
    Given a platform with the fault <fault> on its log
    When a record is appended
    Then the append fails and says that it <says> have taken effect
    And the log holds <count> records

    Examples:
      | fault       | says    | count |
      | down        | may     | 0     |
      | lose_answer | may     | 1     |
      | late_answer | may     | 1     |
      | refused     | can not | 0     |

  Scenario Outline: An order with an old term is refused or taken
    Given a platform that <habit> old terms
    When it gets orders of the terms <terms>
    Then it has carried out <done>

    Examples:
      | habit   | terms | done        |
      | refuses | 5 4 6 | o5 o6       |
      | ignores | 5 4 6 | o5 o4 o6    |

  Scenario: A window's first report counts
    Given a platform that refuses old terms
    When a window is reported twice with different figures
    Then the first report counts and the journal shows both
