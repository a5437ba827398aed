Feature: every request gets one honest end from its agent

  Scenario Outline: a request that is stopped before it could start has not run
    Given an upstream that is <state>
    When a <kind> request comes and <event>
    Then the entry hears once that it has not run, because of <code>
    And the upstream never sees it

    Examples:
      | state | kind  | event                                        | code                     |
      | busy  | plain | its key is withdrawn                         | key.withdrawn            |
      | busy  | plain | its failure domain is drained                | process.draining         |
      | busy  | plain | the agent begins a planned stop              | process.draining         |
      | busy  | plain | its caller gives it up                       | request.cancelled        |
      | busy  | plain | its deadline passes                          | request.deadline_passed  |
      | busy  | keyed | a retry seals it through another entry       | request.sealed           |
      | busy  | plain | a seal for it comes over another connection  | request.sealed           |
      | free  | plain | its caller gives it up in the same turn      | request.cancelled        |
      | free  | plain | its key is withdrawn in the same turn        | key.withdrawn            |
      | free  | keyed | the upstream refuses the connection          | upstream.failed          |
      | free  | sample | the engine does not report its version      | upstream.version_unverifiable |
      | free  | sample | the engine serves older weights             | sample.too_old           |
      | busy  | sample | its trainer attaches again elsewhere        | sample.attach_old        |

  Scenario Outline: a request that was cut while it ran may have run
    Given an upstream that is free
    When a <kind> request runs and <event>
    Then the entry hears once that it may have run, because of <code>
    And nothing is billed for it

    Examples:
      | kind   | event                            | code                          |
      | plain  | its key is withdrawn             | key.withdrawn                 |
      | plain  | its caller gives it up           | request.cancelled             |
      | plain  | its answer breaks off            | upstream.answer_truncated     |
      | plain  | the adapter meets a surprise     | internal                      |
      | sample | the engine restarts under it     | upstream.version_unverifiable |
      | sample | the engine no longer reports     | upstream.version_unverifiable |

  Scenario Outline: what a lost entry wanted
    Given an upstream that is <state>
    When a <kind> request is there and its entry is lost
    Then the request <fate>

    Examples:
      | state | kind       | fate                                   |
      | busy  | keyed      | never reaches the upstream             |
      | free  | repeatable | is stopped                             |
      | free  | keyed      | runs on, and a retry gets its answer   |
      | free  | sample     | runs on, and is kept for the next entry |
