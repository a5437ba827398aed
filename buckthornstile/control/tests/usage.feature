Feature: Usage is billed once and right

  Scenario Outline: An entry's batch and an agent's recovery meet in the log
    When the log gets <records>
    Then three requests with sixty tokens are billed

    Examples:
      | records                                |
      | batch                                  |
      | batch batch                            |
      | recovery batch                         |
      | batch recovery                         |
      | recovery recovery batch recovery       |
      | batch window batch                     |
      | batch window recovery                  |
      | recovery window batch                  |
      | recovery window batch window recovery  |
      | recovery window recovery window batch  |
