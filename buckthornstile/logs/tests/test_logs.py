"""Log lines are one a change, readable by machines, and hold no key."""

import io
import json
import secrets

import pytest

from buckthornstile.base import ErrorCode
from buckthornstile.configuration import make_key
from buckthornstile.logs import log_change, set_up_logs
from buckthornstile.settings import LogFormat


@pytest.mark.parametrize("log_format", list(LogFormat))
def test_a_line_never_holds_a_key(log_format):
    clear = make_key("mill-7", token_bytes=secrets.token_bytes).clear
    stream = io.StringIO()
    handler = set_up_logs(log_format, process="entry-1", stream=stream)
    log_change(ErrorCode.KEY_UNKNOWN, f"refused {clear}", request_id=f"e/1 {clear}")
    log_change(ErrorCode.KEY_UNKNOWN, f"refused Bearer {clear[3:]}\nforged line")
    handler.pop_application()
    lines = stream.getvalue().splitlines()
    assert len(lines) == 2
    assert clear[3:] not in stream.getvalue()


def test_json_lines_carry_code_process_and_ids():
    stream = io.StringIO()
    handler = set_up_logs(LogFormat.JSON, process="entry-1", stream=stream)
    log_change("lot.opened", "opened a lot", lot="lot-4", process="forged", share=0.5)
    log_change("lot.noise", "not written", level="debug")
    handler.pop_application()
    line = json.loads(stream.getvalue())
    assert line["code"] == "lot.opened"
    assert line["process"] == "entry-1"
    assert line["lot"] == "lot-4"


def test_a_closed_stream_does_not_stop_the_process():
    stream = io.StringIO()
    handler = set_up_logs(LogFormat.HUMAN, process="entry-1", stream=stream)
    stream.close()
    log_change("process.stopping", "stops")
    handler.pop_application()
