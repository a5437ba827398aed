Feature: How the worst-served client account fares
  A shared upstream serves accounts by weight, in tokens of work, whatever one
  of them sends.

  Scenario Outline: A large account floods at ten times its share
    Given a <queue> queue before one upstream
    And 8 client accounts, of which one floods at 10 times its share
    When the upstream works for 120 seconds
    Then the worst-served account gets at least 0.9 of its fair share: <fair>

    Examples:
      | queue | fair |
      | fair  | yes  |
      | FIFO  | no   |

  Scenario Outline: Corrections keep priority over stock checks that nobody waits on
    Given a <queue> queue before one upstream
    And trainer corrections that fill the upstream, and stock checks
    When the upstream works for 120 seconds
    Then the corrections get at least 0.9 of the work: <first>
    And the stock checks get at least 0.04 of the work: <floor>

    Examples:
      | queue       | first | floor |
      | fair        | yes   | yes   |
      | FIFO        | no    | yes   |
      | no floor    | yes   | no    |

  Scenario Outline: A flood of waited-on calls leaves other accounts their share
    Given a <queue> queue before one upstream
    And trainer corrections of half the upstream, and a flood of waited-on calls
    When the upstream works for 240 seconds
    Then the worst-served account gets at least 0.9 of its fair share: <fair>

    Examples:
      | queue         | fair |
      | fair          | yes  |
      | class-ordered | no   |

  Scenario: The lot with the least slack goes first
    Given a fair queue before one upstream
    When samples of lots with 9, 1 and 4 seconds of slack arrive
    Then they are served in the order 1, 4, 9
