Feature: Each sample names the weight versions that truly made it

  Scenario Outline: A fault in the middle of a sample
    Given a trainer that waits on a lot
    And each engine has made two tokens of its samples
    When <fault>
    And the engines finish what they run
    Then every sample that the trainer took is truly labelled
    And <outcome>

    Examples:
      | fault                                        | outcome                              |
      | the engines swap weights                     | the samples name both versions       |
      | an engine reports an older version mid-stream | that engine's samples are discarded |
      | an engine restarts and hides it              | that engine's samples are discarded  |
      | the swap fails and the old version stays     | the samples name one version         |
