"""Charts of a run's series, as one PNG file."""

from pathlib import Path

import matplotlib

matplotlib.use("agg")  # draws into files, with no display

from matplotlib import pyplot
from matplotlib.axes import Axes

from loftroute.lab.scale.fits import Series

COLUMNS = 3
PANEL = (4.2, 3.0)  # inches
DOTS_AN_INCH = 75
FLAT = 3.0  # a figure that grows by less is drawn on a linear axis from 0


def draw(series: list[Series], path: Path) -> None:
    """One panel a figure: the measured points and the fitted line, both axes logarithmic where possible."""
    shown = [one for one in series if len(one.points) > 1]
    rows = -(-len(shown) // COLUMNS)
    figure, axes = pyplot.subplots(
        rows, COLUMNS, figsize=(PANEL[0] * COLUMNS, PANEL[1] * rows), squeeze=False
    )
    for place, one in zip(axes.flat, shown, strict=False):
        _panel(place, one)
    for place in list(axes.flat)[len(shown) :]:
        place.axis("off")
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_AN_INCH)
    pyplot.close(figure)


def _panel(axes: Axes, series: Series) -> None:
    sizes = [point.size for point in series.points]
    values = [point.value for point in series.points]
    fit = series.fit()
    axes.plot(sizes, values, "o", label="measured")
    axes.plot(sizes, [fit.at(size) for size in sizes], "-", label=f"line, residual {fit.residual:.2f}")
    axes.set_xscale("log")
    if max(values) < FLAT * min(values):
        axes.set_ylim(0, 1.2 * max(values))
    elif min(values) > 0 and min(fit.at(size) for size in sizes) > 0:
        axes.set_yscale("log")
    axes.set_title(series.name.replace("_", " ") + (" (void)" if series.void else ""), fontsize=9)
    axes.set_xlabel(series.dimension, fontsize=8)
    axes.set_ylabel(series.unit, fontsize=7)
    axes.legend(fontsize=7)
