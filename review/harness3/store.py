"""Starts the project's stand-in for the store, with pages of at most 1 MB.

The users' pages allow at most 500 records or 1 MB in a page of the newest records. The
project's stand-in bounds only the number of records.
"""

import base64

from standins.server import make_argument_parser, run_server
from standins.store import _application

PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000


def get(self):
    """Writes one page of records, in the order of their keys."""
    partition = self.topics.get(
        self.get_argument("topic"), int(self.get_argument("part"))
    )
    after = self.get_argument("after", "").encode()
    items, size, has_more = [], 0, False
    for key in sorted(key for key in partition.newest if key > after):
        offset, value = partition.newest[key]
        if items and (len(items) >= PAGE_RECORDS or size + len(value) > PAGE_BYTES):
            has_more = True
            break
        size += len(value)
        encoded = base64.b64encode(value).decode()
        items.append({"key": key.decode(), "value": encoded, "offset": offset})
    self.write({"items": items, "hasMore": has_more, "end": partition.end})


if __name__ == "__main__":
    _application.LatestHandler.get = get
    parser = make_argument_parser("store")
    parser.add_argument("--retention", type=float, default=20.0)
    flags = parser.parse_args()
    run_server(
        lambda: _application.make_application(retention=flags.retention),
        flags.address,
        flags.port,
    )
