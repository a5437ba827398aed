Feature: A change is answered "accepted" only once the store shows it

  Scenario Outline: The platform's answer does not tell what became of the change
    Given failure domain "bench-a" is in service
    And the store <fault>
    When an operator drains failure domain "bench-a"
    Then the command ends with <exit code>
    And the drain was accepted <times> times

    Examples:
      | fault                                              | exit code            | times |
      | works                                              | OK                   | 1     |
      | loses one answer after taking the record           | OK                   | 1     |
      | loses one answer before taking the record          | OK                   | 1     |
      | takes a record late, after its answer was lost     | OK                   | 1     |
      | refuses one append                                 | OK                   | 1     |
      | is out                                             | PLATFORM_UNAVAILABLE | 0     |
      | is out for reading after the append                | PLATFORM_UNAVAILABLE | 1     |
      | takes another operator's change first              | OK                   | 1     |
      | takes another operator's change first, always      | CONFLICT             | 0     |
      | takes another operator's drain first               | OK                   | 1     |
      | has dropped its history                            | OK                   | 1     |
      | holds a malformed record                           | BAD_INPUT            | 0     |

  Scenario Outline: Operators race with a sheet
    Given the example sheet was applied
    When an operator applies a changed sheet while another <change>
    Then the command ends with <exit code>

    Examples:
      | change                             | exit code |
      | drains a failure domain            | OK        |
      | changes what the sheet would do    | CONFLICT  |
