"""Formats the results of a measurement as text, CSV and SVG."""

import csv
import os
import statistics

COLUMNS = ("p50_all", "p95_all", "p99_all", "p95_high", "with_pauses_p95_all", "first_token_p95_all", "cached_share",
           "wasted_share", "calls_per_s", "programs_per_s", "held_ended_past_2s_token_s", "key_value_per_s")
COLOURS = ("#1b6ca8", "#d1495b", "#66a182", "#edae49", "#8d6a9f", "#555555")
PLOTS = (("p95_all", "p95 of program latency without pauses (s)"), ("p95_high", "p95, high priority (s)"),
         ("wasted_share", "wasted share of prompt tokens"), ("calls_per_s", "completed calls per second"))
PLOT_WIDTH, PLOT_HEIGHT, MARGIN = 360, 240, 50


def line(row):
    """Returns one run as one line."""
    figures = " ".join(f"{name}={row[name]:.3g}" for name in COLUMNS)
    return (f"{row['variant']:>18} rate={row['rate']:g} seed={row['seed']} {row['fault']} "
            f"done={row['complete_all']}/{row['programs_all']} {figures} cpu entry={row['entry_cores']:.2f} "
            f"runner={row['runner_cores']:.2f} load-tool={row['load_tool_cores']:.2f} "
            f"machine-load={row['machine_load']:.1f} refusals={row['refusals']} [{row['outcomes']}]")


def medians(rows):
    """Returns the median of each column over the seeds, by rate, fault and variant."""
    groups = {}
    for row in rows:
        groups.setdefault((row["rate"], row["fault"], row["variant"]), []).append(row)
    return {key: {name: statistics.median(row[name] for row in group) for name in group[0]
                  if isinstance(group[0][name], (int, float))} for key, group in groups.items()}


def table(rows):
    """Returns a Markdown table of the medians over the seeds."""
    lines = ["| programs/s | fault | placement | done | " + " | ".join(COLUMNS) + " |", "|---" * (len(COLUMNS) + 4) + "|"]
    for (rate, fault, variant), median in medians(rows).items():
        done = f"{median['complete_all']:g}/{median['programs_all']:g}"
        cells = " | ".join(f"{median[name]:.3g}" for name in COLUMNS)
        lines.append(f"| {rate:g} | {fault or '-'} | {variant} | {done} | {cells} |")
    return "\n".join(lines)


def write(rows, folder):
    """Writes every run as CSV and the medians without faults as SVG."""
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "measure.csv"), "w", encoding="utf-8", newline="") as output:
        writer = csv.DictWriter(output, list(rows[0]), lineterminator="\n")
        writer.writeheader()
        for row in rows:
            writer.writerow({name: f"{value:.4g}" if isinstance(value, float) else value
                             for name, value in row.items()})
    with open(os.path.join(folder, "measure.svg"), "w", encoding="utf-8") as output:
        output.write(_svg(rows))


def _svg(rows):
    found = {(rate, variant): median for (rate, fault, variant), median in medians(rows).items() if not fault}
    variants = list(dict.fromkeys(variant for _, variant in found))
    rates = sorted({rate for rate, _ in found})
    width = 2 * (PLOT_WIDTH + MARGIN) + MARGIN
    height = 2 * (PLOT_HEIGHT + 2 * MARGIN) + MARGIN
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" font-family="sans-serif" '
             f'font-size="12"><rect width="{width}" height="{height}" fill="white"/>']
    for index, (column, title) in enumerate(PLOTS):
        left = MARGIN + index % 2 * (PLOT_WIDTH + MARGIN)
        top = MARGIN + index // 2 * (PLOT_HEIGHT + 2 * MARGIN)
        parts += _plot(found, variants, rates, column, title, left, top)
    for index, variant in enumerate(variants):
        left = MARGIN + index * 150
        parts.append(f'<text x="{left}" y="{height - 15}" fill="{COLOURS[index]}">&#9632; {variant}</text>')
    return "\n".join(parts) + "\n</svg>\n"


def _plot(found, variants, rates, column, title, left, top):
    maximum = max([median[column] for median in found.values()] + [1e-9])
    low, span = rates[0] if rates else 0, max(rates[-1] - rates[0], 1e-9) if rates else 1
    parts = [f'<text x="{left}" y="{top - 10}" font-weight="bold">{title}</text>',
             f'<rect x="{left}" y="{top}" width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}" fill="none" stroke="#999"/>',
             f'<text x="{left + 4}" y="{top + 14}" fill="#666">{maximum:.3g}</text>']
    parts += [f'<text x="{left + (rate - low) / span * PLOT_WIDTH - 4}" y="{top + PLOT_HEIGHT + 16}">{rate:g}</text>'
              for rate in rates]
    for index, variant in enumerate(variants):
        points = " ".join(f"{left + (rate - low) / span * PLOT_WIDTH:.1f},"
                          f"{top + PLOT_HEIGHT * (1 - found[rate, variant][column] / maximum):.1f}"
                          for rate in rates if (rate, variant) in found)
        parts.append(f'<polyline points="{points}" fill="none" stroke="{COLOURS[index]}" stroke-width="2"/>')
    return parts
