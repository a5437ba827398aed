Feature: A failure domain taken out gets no new work
  Heartbeats come each second; the bound for new work is 5 seconds.

  Scenario Outline: A failure domain leaves
    Given an entry with 8 upstreams in 4 failure domains and a <chooser> choice
    When failure domain bench-a leaves by <way>
    Then from 5 seconds on it gets new work: <work>
    And no request is refused while other domains serve

    Examples:
      | chooser  | way                  | work |
      | guarded  | a drain record       | no   |
      | guarded  | lost heartbeats      | no   |
      | guarded  | a leaving notice     | no   |
      | guarded  | draining agents      | no   |
      | naive    | a drain record       | yes  |
      | naive    | lost heartbeats      | yes  |
      | naive    | a leaving notice     | yes  |
      | naive    | draining agents      | yes  |

  Scenario: It gets work again when it returns
    Given an entry with 8 upstreams in 4 failure domains and a guarded choice
    When failure domain bench-a leaves by lost heartbeats
    And it returns after 30 seconds
    Then within 2 seconds it gets new work
