"""The project's stand-in of the store, with pages of the size that the pages promise.

It takes the flags of ``standins.store``.
"""

import base64

from standins.server import make_argument_parser, run_server
from standins.store import _application as application

MAX_PAGE_KEYS = 500
MAX_PAGE_BYTES = 1 << 20


class LatestHandler(application.LatestHandler):
    """``GET /-/log-newest``, with at most 500 records or 1 MB in a page."""

    def get(self) -> None:
        """Writes one page of records, in the order of their keys."""
        partition = self.topics.get(
            self.get_argument("topic"), int(self.get_argument("part"))
        )
        after = self.get_argument("after", "").encode()
        keys = sorted(key for key in partition.newest if key > after)
        items: list[dict[str, object]] = []
        size = 0
        for key in keys[:MAX_PAGE_KEYS]:
            offset, value = partition.newest[key]
            size += len(value)
            if items and size > MAX_PAGE_BYTES:
                break
            encoded = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": encoded, "offset": offset})
        has_more = len(keys) > len(items)
        self.write({"items": items, "hasMore": has_more, "end": partition.end})


application.LatestHandler = LatestHandler

if __name__ == "__main__":
    parser = make_argument_parser("store")
    parser.add_argument("--retention", type=float, default=20.0)
    flags = parser.parse_args()
    run_server(
        lambda: application.make_application(retention=flags.retention),
        flags.address,
        flags.port,
    )
