"""Charts of the series of a run, in one PNG file."""

from pathlib import Path

import matplotlib

matplotlib.use("agg")  # renders to files, needs no display

from matplotlib import pyplot
from matplotlib.axes import Axes

from loftroute.lab.scale.fits import Series

COLUMNS = 3
PANEL_SIZE = (4.2, 3.0)  # inches
DOTS_PER_INCH = 75
FLAT_GROWTH = 3.0  # ratio of largest to smallest value below which the axis is linear from 0


def draw(series: list[Series], path: Path) -> None:
    """Draw one panel for each series: measured points and fitted line, with logarithmic axes where possible.

    Series of fewer than two points are left out.
    """
    plotted = [figure_series for figure_series in series if len(figure_series.points) > 1]
    rows = -(-len(plotted) // COLUMNS)
    figure, axes = pyplot.subplots(
        rows, COLUMNS, figsize=(PANEL_SIZE[0] * COLUMNS, PANEL_SIZE[1] * rows), squeeze=False
    )
    for panel, figure_series in zip(axes.flat, plotted, strict=False):
        _draw_panel(panel, figure_series)
    for panel in list(axes.flat)[len(plotted) :]:
        panel.axis("off")
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _draw_panel(axes: Axes, series: Series) -> None:
    sizes = [point.size for point in series.points]
    values = [point.value for point in series.points]
    fit = series.fit()
    axes.plot(sizes, values, "o", label="measured")
    axes.plot(sizes, [fit.at(size) for size in sizes], "-", label=f"line, residual {fit.residual:.2f}")
    axes.set_xscale("log")
    if max(values) < FLAT_GROWTH * min(values):
        axes.set_ylim(0, 1.2 * max(values))
    elif min(values) > 0 and min(fit.at(size) for size in sizes) > 0:
        axes.set_yscale("log")
    axes.set_title(series.name.replace("_", " ") + (" (void)" if series.void else ""), fontsize=9)
    axes.set_xlabel(series.dimension, fontsize=8)
    axes.set_ylabel(series.unit, fontsize=7)
    axes.legend(fontsize=7)
