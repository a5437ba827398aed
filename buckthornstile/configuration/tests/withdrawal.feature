Feature: A withdrawn key stops working

  Scenario: A withdrawn key is known as withdrawn by every process that hears of it
    Given client account "mill-7" has a key
    When operators withdraw the key
    Then the key is withdrawn on every reader

  Scenario Outline: A withdrawn key never comes back
    Given client account "mill-7" has a key
    When operators withdraw the key
    And operators try to <attempt>
    Then the change is rejected as invalid
    And the key is still withdrawn

    Examples:
      | attempt                            |
      | put the key in force again         |
      | add it under another name          |
      | move it to another account         |
      | replace its digest                 |
      | remove it                          |

  Scenario Outline: A change that would leave the configuration broken is rejected whole
    Given client account "mill-7" has a key
    When operators try to <attempt>
    Then the change is rejected as invalid
    And the configuration is as before

    Examples:
      | attempt                                     |
      | remove the account of a working key         |
      | add a rule for an unknown account           |
      | add an open route for an unknown account    |
      | add two rules for the same callers          |
      | remove what does not exist                  |
      | put an item twice                           |
      | add an account named for any account        |
      | add an endless reason                       |
      | use an endless change id                    |
