Feature: A caller gets the whole answer to its own request, or an honest error

  Scenario Outline: The first entry fails on a call
    Given an entry that <fault>
    And another entry that answers whole
    When a caller makes <a call>
    Then the caller gets <outcome>
    And <attempts> attempts arrived, all with one idempotency key

    Examples:
      | fault                        | a call                | outcome                               | attempts |
      | is not there                 | a non-idempotent call | the whole answer                      | 1        |
      | refuses with "not run"       | a non-idempotent call | the whole answer                      | 2        |
      | refuses with "may have run"  | a non-idempotent call | load.queue_full and may_have_run      | 1        |
      | refuses with "may have run"  | an idempotent call    | the whole answer                      | 2        |
      | refuses the key              | an idempotent call    | key.withdrawn and not_run             | 1        |
      | closes without an answer     | a non-idempotent call | process.connection_lost and may_have_run | 1     |
      | closes without an answer     | an idempotent call    | the whole answer                      | 2        |
      | cuts the answer short        | a non-idempotent call | upstream.answer_truncated and may_have_run | 1   |
      | cuts the answer short        | an idempotent call    | the whole answer                      | 2        |
      | answers in chunks            | a non-idempotent call | the whole answer                      | 1        |
      | cuts an answer in chunks     | a non-idempotent call | upstream.answer_truncated and may_have_run | 1   |
      | declares no length           | a non-idempotent call | upstream.answer_truncated and may_have_run | 1   |

  Scenario Outline: A stream fails after its first event
    Given an entry that <fault>
    And another entry that answers whole
    When a caller makes a streamed call
    Then the stream gives one event and then <outcome>

    Examples:
      | fault                         | outcome                                    |
      | ends the stream without a word | upstream.answer_truncated and may_have_run |
      | ends the stream with a wrong digest | upstream.answer_truncated and may_have_run |
      | ends the stream with a wrong length | upstream.answer_truncated and may_have_run |
      | ends the stream with an error | key.withdrawn and may_have_run             |
      | goes on after the end         | upstream.answer_truncated and may_have_run |
      | ends the stream well          | the end                                    |
