Feature: A newly started upstream gets no more than it bears
  A cold upstream bears 2 requests at once, and twice as many each 4 seconds.

  Scenario Outline: A cold upstream under full demand
    Given an upstream under full demand behind a <limit> limit
    When it turns cold by <cause>
    Then it gets more requests at once than it bears: <overload>
    And 60 seconds later at least 32 requests run at once

    Examples:
      | limit  | cause                 | overload |
      | ramped | a start               | no       |
      | ramped | a new incarnation     | no       |
      | ramped | a lost cache          | no       |
      | ramped | no warning            | no       |
      | fixed  | a start               | yes      |
      | fixed  | a new incarnation     | yes      |
      | fixed  | a lost cache          | yes      |
      | fixed  | no warning            | yes      |
