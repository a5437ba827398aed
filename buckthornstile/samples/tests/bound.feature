Feature: No sample is older than the bound

  Scenario Outline: The trainer advances by two versions
    Given a trainer that waits on a lot
    And <progress>
    When the trainer advances by two versions and <news>
    And everything runs on
    Then the trainer has the whole lot, none older than the bound
    And samples were refused for their age by <whom>

    Examples:
      | progress                               | news                 | whom        |
      | each engine has made two tokens of its samples | the entry knows it | the entry |
      | the engines have finished unsent samples       | the entry knows it | the entry |
      | the samples are on their way                   | the entry knows it | the trainer |
      | the samples are on their way                   | the news is lost   | the trainer |
