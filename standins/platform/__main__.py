"""Runs the platform's stand-in."""

import json
from pathlib import Path

from standins.platform import PlatformOptions, make_application
from standins.server import make_argument_parser, run


def main() -> None:
    """Reads flags and serves."""
    parser = make_argument_parser("platform")
    parser.add_argument("--retain-records", type=int, default=100_000)
    parser.add_argument("--retain-seconds", type=float, default=3600.0)
    parser.add_argument("--vm-lag-seconds", type=float, default=0.0)
    parser.add_argument("--vms-file", default="")
    parser.add_argument("--ignore-old-terms", action="store_true")
    parser.add_argument("--weight-chunks-per-second", type=float, default=50.0)
    parser.add_argument("--weight-burst", type=float, default=20.0)
    parser.add_argument("--start-seconds", type=float, default=0.0)
    parser.add_argument("--notice-seconds", type=float, default=2.0)
    flags = parser.parse_args()
    vms = json.loads(Path(flags.vms_file).read_text()) if flags.vms_file else []
    options = PlatformOptions(
        retain_records=flags.retain_records,
        retain_seconds=flags.retain_seconds,
        vm_lag_seconds=flags.vm_lag_seconds,
        refuse_old_terms=not flags.ignore_old_terms,
        chunks_per_second=flags.weight_chunks_per_second,
        chunk_burst=flags.weight_burst,
        vms=vms,
        start_seconds=flags.start_seconds,
        notice_seconds=flags.notice_seconds,
    )
    run(lambda: make_application(options), flags.address, flags.port)


if __name__ == "__main__":
    main()
