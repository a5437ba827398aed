Feature: A caller receives the complete response to its own request or an error with the correct verdict

  Scenario Outline: The first entry fails during a call
    Given an entry that <fault>
    And another entry that returns a complete response
    When a caller makes <a call>
    Then the caller receives <outcome>
    And <attempts> attempts arrived, all with the same idempotency key

    Examples:
      | fault                                      | a call                | outcome                                    | attempts |
      | is not running                             | a non-idempotent call | the complete response                      | 1        |
      | rejects the call with verdict not_run      | a non-idempotent call | the complete response                      | 2        |
      | rejects the call with verdict may_have_run | a non-idempotent call | load.queue_full and may_have_run           | 1        |
      | rejects the call with verdict may_have_run | an idempotent call    | the complete response                      | 2        |
      | rejects the key                            | an idempotent call    | key.withdrawn and not_run                  | 1        |
      | closes without a response                  | a non-idempotent call | process.connection_lost and may_have_run   | 1        |
      | closes without a response                  | an idempotent call    | the complete response                      | 2        |
      | truncates the response                     | a non-idempotent call | upstream.answer_truncated and may_have_run | 1        |
      | truncates the response                     | an idempotent call    | the complete response                      | 2        |
      | returns a chunked response                 | a non-idempotent call | the complete response                      | 1        |
      | truncates a chunked response               | a non-idempotent call | upstream.answer_truncated and may_have_run | 1        |
      | declares no length                         | a non-idempotent call | upstream.answer_truncated and may_have_run | 1        |

  Scenario Outline: A stream fails after its first event
    Given an entry that <fault>
    And another entry that returns a complete response
    When a caller makes a streamed call
    Then one event arrives and the stream ends with <outcome>

    Examples:
      | fault                                   | outcome                                    |
      | ends the stream without an end event    | upstream.answer_truncated and may_have_run |
      | ends the stream with a wrong digest     | upstream.answer_truncated and may_have_run |
      | ends the stream with a wrong length     | upstream.answer_truncated and may_have_run |
      | ends the stream with an error           | key.withdrawn and may_have_run             |
      | continues the stream after an end event | upstream.answer_truncated and may_have_run |
      | ends the stream with an end event       | no error                                   |
