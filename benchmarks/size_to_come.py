"""Work out the size to come from the slopes that `benchmarks.slopes` measured."""

from dataclasses import dataclass

NODES = 7_300
ENDPOINTS = 87_000
SERVICES = 27_000
OPEN_FLOWS = 170_000_000
DOMAINS = 7
CONTROL_INSTANCES = 18
DAY_S = 86_400
DOCUMENT_CHANGES = 20_000
INSTANCE_CHANGES = 510 + 7_600

MEMORY_BUDGET_MB = 32.0
CORE_BUDGET_PERCENT = 4.5
BYTES_BUDGET = 2_000.0

#: UDP and IPv4 headers.
_HEADER_BYTES = 28
_PROBES_PER_S = 5
_ANNOUNCE_INTERVAL_S = 10
#: Times that each instance passes a member's news on (3 log2 7300).
_GOSSIP_SENDS = 39
#: News for each instance that fails or restarts: suspect or leaving, dead, alive.
_NEWS_EACH = 3
_PARENTS = 2
#: HTTP/2 and gRPC framing of a small message, an estimate.
_GRPC_BYTES = 60


@dataclass(frozen=True)
class Row:
    """One line of the table."""

    role: str
    what: str
    value: float
    unit: str
    mechanism: str


def entry_rows(report: dict) -> list[Row]:
    """Work out an entry instance's state and its control traffic.

    Parameters
    ----------
    report : dict
        Slopes.

    Returns
    -------
    list of Row
        Table lines.
    """
    memory = {name: row["bytes_each"] for name, row in report["memory"].items()}
    sizes = report["message_bytes"]
    times = report["times_us"]
    news_per_s = INSTANCE_CHANGES * _NEWS_EACH / DAY_S
    documents_per_s = DOCUMENT_CHANGES / DAY_S
    announced_per_s = ENDPOINTS / _ANNOUNCE_INTERVAL_S / NODES
    endpoint_changes_per_s = ENDPOINTS / DAY_S

    def megabytes(count: float, name: str) -> float:
        return count * memory[name] / 1e6

    def memory_row(what: str, count: float, name: str, mechanism: str) -> Row:
        return Row("entry", what, megabytes(count, name), "MB", mechanism)

    probe = sizes["probe without news"] + sizes["answer without news"]
    relayed = sizes["announcement relayed"] + _HEADER_BYTES
    probe_us = times["probe or answer"]
    return [
        memory_row("members", NODES, "member", "SWIM table"),
        memory_row("endpoints, all", ENDPOINTS, "endpoint", "as built"),
        memory_row(
            "endpoints, own domain", ENDPOINTS / DOMAINS, "endpoint", "not built"
        ),
        memory_row("documents", SERVICES, "document at an entry instance", "watch"),
        memory_row("flows", OPEN_FLOWS / NODES, "counted flow", "dispatcher's counts"),
        Row(
            "entry",
            "probes sent",
            _PROBES_PER_S * (probe + 2 * _HEADER_BYTES),
            "B/s",
            "SWIM, free of fleet size",
        ),
        Row(
            "entry",
            "members' news sent",
            news_per_s * _GOSSIP_SENDS * sizes["one member's news"],
            "B/s",
            "gossip on probes",
        ),
        Row(
            "entry",
            "lease refreshes relayed",
            announced_per_s * 2 * relayed,
            "B/s",
            "to the two holders",
        ),
        Row(
            "entry",
            "endpoint changes sent (one a day each)",
            endpoint_changes_per_s * relayed,
            "B/s",
            "to all instances",
        ),
        Row(
            "entry",
            "documents and heartbeats received",
            _PARENTS
            * (
                documents_per_s * (sizes["document to one watcher"] + _GRPC_BYTES)
                + _GRPC_BYTES
                + 10
            ),
            "B/s",
            "two control instances",
        ),
        Row(
            "entry",
            "probes, news, leases, documents",
            (
                4 * _PROBES_PER_S * probe_us
                + news_per_s * times["change of one member among 7300"]
                + 3 * announced_per_s * (times["lease refresh"] + probe_us)
                + documents_per_s * times["take a compact document"]
            )
            / 1e4,
            "% of a core",
            "sum of the measured actions",
        ),
    ]


def control_rows(report: dict) -> list[Row]:
    """Work out a control instance's state and traffic.

    Parameters
    ----------
    report : dict
        Slopes.

    Returns
    -------
    list of Row
        Table lines.
    """
    each = report["memory"]["document at a control instance"]["bytes_each"]
    streams = _PARENTS * NODES / CONTROL_INSTANCES
    documents_per_s = DOCUMENT_CHANGES / DAY_S
    update = report["message_bytes"]["document to one watcher"] + _GRPC_BYTES
    return [
        Row("control", "documents", SERVICES * each / 1e6, "MB", "replicated log"),
        Row("control", "streams held", streams, "streams", "two for each entry"),
        Row(
            "control",
            "documents sent",
            streams * documents_per_s * update,
            "B/s",
            "watch",
        ),
        Row("control", "heartbeats sent", streams * (_GRPC_BYTES + 10), "B/s", "watch"),
    ]


def print_table(report: dict) -> None:
    """Print the table in Markdown.

    Parameters
    ----------
    report : dict
        Slopes.
    """
    print("| Role | What | At the size to come | Mechanism |")
    print("| --- | --- | --- | --- |")
    for row in entry_rows(report) + control_rows(report):
        value = f"{row.value:,.2f}" if row.value < 100 else f"{row.value:,.0f}"
        print(f"| {row.role} | {row.what} | {value} {row.unit} | {row.mechanism} |")
