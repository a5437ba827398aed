Feature: Fair shares of a shared upstream
  An upstream serves client accounts in proportion to their weights, measured in
  tokens of work, however many requests one of them sends.

  Scenario Outline: One account sends ten times its share
    Given an upstream with a queue of type <queue>
    And 8 client accounts, one of which sends 10 times its share
    When the upstream serves requests for 120 seconds
    Then every account gets at least 0.9 of its fair share: <fair>

    Examples:
      | queue | fair |
      | fair  | yes  |
      | FIFO  | no   |

  Scenario Outline: Trainer requests take precedence over background requests
    Given an upstream with a queue of type <queue>
    And trainer requests and background requests that each exceed the upstream's capacity
    When the upstream serves requests for 120 seconds
    Then the trainer requests get at least 0.9 of the work: <first>
    And the background requests get at least 0.04 of the work: <minimum>

    Examples:
      | queue            | first | minimum |
      | fair             | yes   | yes     |
      | FIFO             | no    | yes     |
      | no minimum share | yes   | no      |

  Scenario Outline: A flood of interactive requests leaves other accounts their share
    Given an upstream with a queue of type <queue>
    And trainer requests at half the upstream's capacity, and a flood of interactive requests
    When the upstream serves requests for 240 seconds
    Then every account gets at least 0.9 of its fair share: <fair>

    Examples:
      | queue           | fair |
      | fair            | yes  |
      | unlimited burst | no   |

  Scenario: The lot with the least slack is served first
    Given an upstream with a queue of type fair
    When samples of lots with 9, 1 and 4 seconds of slack arrive
    Then they are served in the order 1, 4, 9
