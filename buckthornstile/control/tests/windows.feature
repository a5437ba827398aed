Feature: No window is reported twice with different figures, nor by two processes that both believe they are in charge

  Scenario Outline: A fault between a window's end and its report
    When <fault>
    Then each reported window has one figure
    And the platform saw one process in charge at a time
    And the usage was billed once and right

    Examples:
      | fault                                             |
      | the holder dies before its seal                   |
      | the holder dies after its seal                    |
      | the holder dies before its report                 |
      | the holder dies after its report                  |
      | the holder dies before it notes the report        |
      | an old holder's seal lands after its successor's  |
      | the log is out across a window's end              |
      | the report's answers are lost                     |

