Feature: Every process reads an accepted configuration and never returns to an older one

  Scenario Outline: A process reads the latest configuration
    Given operators made 4 accepted changes
    And a process that <situation>
    When operators drain failure domain "bench-a"
    And the process reads the store
    Then the process has the latest revision
    And failure domain "bench-a" receives no new requests from it

    Examples:
      | situation                                        |
      | has read the whole store                         |
      | has never read the store                         |
      | starts after history was dropped                 |
      | was disconnected while history was dropped       |
      | read a snapshot during which a change was made   |

  Scenario Outline: A delayed record does not restore an older configuration
    Given operators made 4 accepted changes
    And a process that has read the whole store
    When <description> arrives late
    Then the process has the latest revision

    Examples:
      | description                |
      | an old change              |
      | the latest change again    |
      | a record of another writer |

  Scenario: A partly read change is not in effect
    Given operators made 4 accepted changes
    And a process that has read the whole store
    When the process reads part of a change that adds a rule and a drain
    Then the process has revision 4
    And failure domain "bench-a" receives new requests from it
