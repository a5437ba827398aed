Feature: A caller gets the whole answer to its own request
  An answer that is cut, late or another's is an error with an honest verdict,
  never a short success.

  Scenario Outline: A bad answer is an error
    Given <upstream> with the fault <fault>
    When a request is sent to it
    Then the call ends with <code> and the verdict <verdict>

    Examples:
      | upstream          | fault       | code                      | verdict      |
      | a streamed engine | truncate    | upstream.answer_truncated | may_have_run |
      | a streamed engine | crossed_id  | upstream.answer_crossed   | may_have_run |
      | a streamed engine | hang        | request.deadline_passed   | may_have_run |
      | a whole engine    | truncate    | upstream.answer_truncated | may_have_run |
      | a whole engine    | crossed_id  | upstream.answer_crossed   | may_have_run |
      | a plain service   | truncate    | upstream.answer_truncated | may_have_run |
      | a plain service   | crossed_id  | upstream.answer_crossed   | may_have_run |
      | a plain service   | hang        | request.deadline_passed   | may_have_run |
      | no upstream       | none        | upstream.failed           | not_run      |

  Scenario Outline: A good answer comes whole
    Given <upstream> with the fault none
    When a request is sent to it
    Then the answer is whole and names the request

    Examples:
      | upstream          |
      | a streamed engine |
      | a whole engine    |
      | a plain service   |

  Scenario Outline: Bytes that are no whole answer are never one
    When an upstream sends <bytes> and closes
    Then the call ends with <code> and the verdict may_have_run

    Examples:
      | bytes            | code                      |
      | nothing          | upstream.failed           |
      | noise            | upstream.failed           |
      | an endless head  | upstream.failed           |
      | no length        | upstream.answer_truncated |
      | a false length   | upstream.answer_truncated |
      | two lengths      | upstream.answer_truncated |
      | a broken chunk   | upstream.answer_truncated |
