Feature: A withdrawn key stops working

  Scenario: Every process that reads a withdrawal treats the key as withdrawn
    Given client account "mill-7" has a key
    When operators withdraw the key
    Then every reader treats the key as withdrawn

  Scenario Outline: A withdrawn key cannot be restored
    Given client account "mill-7" has a key
    When operators withdraw the key
    And operators try to <attempt>
    Then the change is rejected as invalid
    And the key is still withdrawn

    Examples:
      | attempt                            |
      | restore the key                    |
      | add the key under another name     |
      | move the key to another account    |
      | replace the key's digest           |
      | remove the key                     |

  Scenario Outline: A change that would make the configuration invalid is rejected as a whole
    Given client account "mill-7" has a key
    When operators try to <attempt>
    Then the change is rejected as invalid
    And the configuration is unchanged

    Examples:
      | attempt                                            |
      | remove the account of a key that is not withdrawn  |
      | add a rule for an unknown account                  |
      | add an open route for an unknown account           |
      | add two rules for the same callers                 |
      | remove an item that does not exist                 |
      | put the same item twice                            |
      | add an account with the reserved name              |
      | add a reason that is too long                      |
      | use a change id that is too long                   |
