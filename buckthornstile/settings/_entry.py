"""The settings of an entry."""

from pydantic import ValidationInfo, field_validator

from buckthornstile.settings._common import DaemonSettings, make_number


class EntrySettings(DaemonSettings):
    """Settings of an entry."""

    http_port: int = make_number(
        7400, 0, 65535, "port", "TCP port for callers and trainers; 0 takes a free one."
    )
    default_timeout: float = make_number(
        60.0, 0.1, 3600, "s", "Deadline of a request that names none."
    )
    max_timeout: float = make_number(
        600.0, 0.1, 86_400, "s", "Longest deadline that a caller may name."
    )
    lease_duration: float = make_number(
        6.0, 1, 300, "s", "Time that the control lease lasts without renewal."
    )
    lease_renewal_interval: float = make_number(
        1.5, 0.1, 100, "s", "Time between two renewals by the holder."
    )
    lease_margin: float = make_number(
        1.0,
        0.05,
        60,
        "s",
        "Time by which the holder stops early and followers wait longer.",
    )
    order_timeout: float = make_number(
        1.0, 0.05, 60, "s", "Time within which an order must have been carried out."
    )
    control_candidates: int = make_number(
        3, 1, 100, "entries", "Entries that try for the lease."
    )
    snapshot_interval: float = make_number(
        60.0, 0.1, 86_400, "s", "Time between two snapshots that the holder appends."
    )
    log_retention: float = make_number(
        3600.0, 1, 31_536_000, "s", "Time for which the platform's log keeps a record."
    )
    usage_batch_interval: float = make_number(
        1.0, 0.05, 60, "s", "Time between two usage batches of an entry."
    )
    usage_window: int = make_number(60, 1, 86_400, "s", "Length of a usage window.")
    usage_seal_delay: float = make_number(
        5.0, 0, 3600, "s", "Time after a window's end until it is sealed."
    )
    vm_list_interval: float = make_number(
        1.0, 0.05, 60, "s", "Time between two reads of the VM list."
    )
    upstream_subset: int = make_number(
        0, 0, 100_000, "upstreams", "Upstreams that an entry connects to; 0 for all."
    )
    retry_budget: float = make_number(
        0.1, 0, 1, "retries per success", "Retries that each success earns."
    )
    max_lots: int = make_number(
        256, 1, 100_000, "lots", "Lots that may be open at once."
    )
    max_lot_samples: int = make_number(
        4096, 1, 1_000_000, "samples", "Samples that one lot may ask for."
    )
    weight_poll_interval: float = make_number(
        1.0, 0.05, 3600, "s", "Time between two looks at the weight store's manifest."
    )
    scale_maximum: int = make_number(
        0,
        0,
        100_000,
        "upstreams",
        "Upstreams of one service that may be ordered; 0 orders and stops none.",
    )
    scale_interval: float = make_number(
        5.0, 0.1, 3600, "s", "Time between two plans of starts and stops."
    )
    scale_start_seconds: float = make_number(
        60.0, 0, 86_400, "s", "Time from an order to the upstream's first request."
    )
    swap_share: float = make_number(
        0.25, 0.001, 1, "share", "Share of a service's engines that swap at once."
    )

    @field_validator("max_timeout")
    @classmethod
    def _check_max_timeout(cls, value: float, info: ValidationInfo) -> float:
        default = info.data.get("default_timeout")
        if default is not None and value < default:
            raise ValueError(f"must be at least default_timeout, {default} s")
        return value

    @field_validator("lease_renewal_interval")
    @classmethod
    def _check_renewal(cls, value: float, info: ValidationInfo) -> float:
        duration = info.data.get("lease_duration")
        if duration is not None and value > duration / 3:
            raise ValueError(f"must be at most a third of lease_duration, {duration} s")
        return value

    @field_validator("lease_margin")
    @classmethod
    def _check_margin(cls, value: float, info: ValidationInfo) -> float:
        duration = info.data.get("lease_duration")
        if duration is not None and value > duration / 2:
            raise ValueError(f"must be at most half of lease_duration, {duration} s")
        return value

    @field_validator("order_timeout")
    @classmethod
    def _check_order_timeout(cls, value: float, info: ValidationInfo) -> float:
        duration = info.data.get("lease_duration")
        margin = info.data.get("lease_margin")
        if duration is None or margin is None:
            return value
        if value >= duration - margin:
            raise ValueError(
                "must be under lease_duration less lease_margin, "
                f"{duration - margin} s, or the order outlives the lease"
            )
        return value

    @field_validator("log_retention")
    @classmethod
    def _check_retention(cls, value: float, info: ValidationInfo) -> float:
        interval = info.data.get("snapshot_interval")
        if interval is not None and value < 3 * interval:
            raise ValueError(
                f"must be at least three times snapshot_interval, {3 * interval} s"
            )
        return value
