Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario Outline: A process learns the newest configuration
    Given operators made 4 accepted changes
    And a process that <situation>
    When operators drain failure domain "bench-a"
    And the process reads the store
    Then the process stands at the newest revision
    And failure domain "bench-a" gets no new work from it

    Examples:
      | situation                                  |
      | has read the store so far                  |
      | never read the store                       |
      | starts after history was dropped           |
      | was away while history was dropped         |
      | read pages between which a change was made |

  Scenario Outline: Nothing that arrives late brings an older configuration back
    Given operators made 4 accepted changes
    And a process that has read the store so far
    When <late> arrives late
    Then the process stands at the newest revision

    Examples:
      | late                       |
      | an old change              |
      | the newest change again    |
      | a record of another writer |

  Scenario: A change that is read half is not in force
    Given operators made 4 accepted changes
    And a process that has read the store so far
    When the process reads half of a change that adds a rule and a drain
    Then the process stands at revision 4
    And failure domain "bench-a" gets new work from it
