Feature: A command reports a change as accepted only after reading it back from the store

  Scenario Outline: A change is applied at most once when the store fails or another operator's change is accepted first
    Given a configuration in which failure domain "bench-a" is not drained
    And the store <fault>
    When an operator drains failure domain "bench-a"
    Then the command exits with <exit code>
    And the store holds <times> accepted drains

    Examples:
      | fault                                                    | exit code            | times |
      | works                                                    | OK                   | 1     |
      | loses one response after appending the record            | OK                   | 1     |
      | loses one request before appending the record            | OK                   | 1     |
      | appends a record late, after the request timed out       | OK                   | 1     |
      | rejects one append                                       | OK                   | 1     |
      | is unavailable                                           | PLATFORM_UNAVAILABLE | 0     |
      | becomes unavailable for reads after the append           | PLATFORM_UNAVAILABLE | 1     |
      | appends another operator's change first                  | OK                   | 1     |
      | appends another operator's change first on every attempt | CONFLICT             | 0     |
      | appends another operator's drain first                   | OK                   | 1     |
      | has dropped its history                                  | OK                   | 1     |
      | holds a malformed record                                 | BAD_INPUT            | 0     |

  Scenario Outline: An operator applies a sheet while another operator makes a change
    Given the example sheet was applied
    When an operator applies a changed sheet while another operator <change>
    Then the command exits with <exit code>

    Examples:
      | change                                         | exit code |
      | drains a failure domain                        | OK        |
      | creates an account that the sheet also creates | CONFLICT  |
