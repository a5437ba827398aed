Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario Outline: A process learns the newest configuration
    Given operators made 4 accepted changes
    And a process that <situation>
    When operators drain failure domain "bench-a"
    And the process <learns>
    Then the process stands at the newest revision
    And failure domain "bench-a" gets no new work from it

    Examples:
      | situation                                    | learns                         |
      | has read the log so far                      | reads the log                  |
      | has read the log so far                      | hears from a peer              |
      | never read the log                           | hears from a peer              |
      | starts behind the log's retention            | reads the log with a snapshot  |
      | starts behind the log's retention            | hears from a peer              |
      | was cut off for longer than retention        | reads the log with a snapshot  |
      | was cut off for longer than retention        | hears from a peer              |
      | was cut off longer than a peer's memory      | hears from a peer              |
      | could not read one record                    | reads the log with a snapshot  |
      | could not read one record                    | hears from a peer              |
      | missed one relayed record                    | asks again                     |

  Scenario Outline: Nothing that arrives late brings an older configuration back
    Given operators made 4 accepted changes
    And a process that has read the log so far
    When <late> arrives late
    Then the process stands at the newest revision

    Examples:
      | late                            |
      | an older snapshot in the log    |
      | an older snapshot from a peer   |
      | an old change from a peer       |
      | a doubled change in the log     |
      | a differing snapshot            |

  Scenario: A process behind a gap does not judge what it cannot know
    Given operators made 4 accepted changes
    And a process that starts behind the log's retention
    When a change based on revision 0 is appended
    And the process reads the log
    Then the change waits and the process stands at revision 0
    When the process reads the log with a snapshot
    Then the process stands at the newest revision
