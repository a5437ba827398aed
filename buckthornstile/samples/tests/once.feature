Feature: Each sample is delivered once, and no work is lost

  Scenario Outline: An entry is lost at some step
    Given a trainer that waits on a lot
    And <progress>
    When <fault>
    And the trainer attaches through the other entry
    And everything runs on
    Then the trainer has the whole lot, each sample once
    And at most <reruns> samples were made again

    Examples:
      | progress                                       | fault                       | reruns |
      | each engine has made two tokens of its samples | the entry dies              | 0      |
      | the engines have finished unsent samples       | the entry dies              | 0      |
      | the samples are on their way                   | the entry dies              | 0      |
      | the trainer has half of the samples            | the entry dies              | 0      |
      | the trainer has half of the samples            | acknowledgements are lost   | 0      |
      | each engine has made two tokens of its samples | the entry is paused         | 0      |
      | the samples are on their way                   | the entry is paused         | 0      |

  Scenario: An entry that was paused wakes up after the trainer has left it
    Given a trainer that waits on a lot
    When the entry is paused
    And the trainer attaches through the other entry
    And the paused entry wakes up
    Then it starts nothing and closes its stream

  Scenario: Hedge twins finish together
    Given a trainer that waits on a lot
    And one sample runs for much longer than the others
    When idle capacity lets the entry hedge it
    And both attempts finish together
    And everything runs on
    Then the trainer has the whole lot, each sample once
