"""Least-squares fits of a measured figure against a size, with the residual of the fit."""

from dataclasses import dataclass, field

import numpy


@dataclass(frozen=True)
class Point:
    """One measured value.

    `bare` is the processor time, in seconds, of the calibration loop that ran beside it (see `meter.py`), or
    0 if none ran.
    """

    size: float
    value: float
    bare: float = 0.0


@dataclass(frozen=True)
class Fit:
    """value = intercept + slope * size, and value ~ size ** exponent over the whole range.

    `residual` is the root mean square of (measured - fitted) / measured. `growth` is the value at the largest
    size divided by the value at the smallest.
    """

    intercept: float
    slope: float
    residual: float
    exponent: float
    growth: float

    def at(self, size: float) -> float:
        """Return the value of the fitted line at a size."""
        return self.intercept + self.slope * size


@dataclass
class Series:
    """A figure measured at several sizes in one run."""

    name: str
    dimension: str  # what the size counts
    unit: str  # of the value
    points: list[Point] = field(default_factory=list)
    void: str = ""  # why the figure is not valid; empty if it is

    def fit(self) -> Fit:
        """Fit a line through the points; see `fit`."""
        return fit(self.points)

    def value(self, size: float) -> float:
        """Return the value measured at exactly this size."""
        return next(point.value for point in self.points if point.size == size)


def fit(points: list[Point]) -> Fit:
    """Fit a line by least squares of the relative errors.

    Each point is weighted by 1 / value, so that small sizes count as much as large ones. Points are in
    ascending order of size.

    Raises:
        ValueError: There are fewer than two points.
    """
    if len(points) < 2:
        raise ValueError("a fit needs points of at least two sizes")
    sizes = numpy.array([point.size for point in points], dtype=float)
    values = numpy.array([point.value for point in points], dtype=float)
    weights = 1.0 / numpy.maximum(numpy.abs(values), 1e-12)
    slope, intercept = numpy.polyfit(sizes, values, 1, w=weights)
    relative = (values - (intercept + slope * sizes)) * weights
    positive = numpy.maximum(values, 1e-12)
    exponent = numpy.polyfit(numpy.log(sizes), numpy.log(positive), 1)[0]
    return Fit(
        intercept=float(intercept),
        slope=float(slope),
        residual=float(numpy.sqrt(numpy.mean(relative**2))),
        exponent=float(exponent),
        growth=float(positive[-1] / positive[0]),
    )
