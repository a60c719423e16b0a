package org.lovagevale.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Values of several runs at several points, by series; a line is fitted through the
 * medians of each series.
 *
 * <p>
 * Thread-safe.
 */
final class ControlFigures {

	private final Map<String, Series> byName = new LinkedHashMap<>();

	/**
	 * Adds the value of one run.
	 * @param series the name of the series
	 * @param along what differs between the points, as in "entries"
	 * @param x the point
	 * @param unit the unit of the value
	 * @param value the value
	 */
	synchronized void add(String series, String along, int x, String unit, double value) {
		this.byName.computeIfAbsent(series, (name) -> new Series(along, unit, new TreeMap<>()))
			.points()
			.computeIfAbsent(x, (point) -> new ArrayList<>())
			.add(value);
	}

	/**
	 * Adds all points and lines to a report.
	 * @param report the report
	 */
	synchronized void addTo(Report report) {
		this.byName.forEach((name, series) -> {
			double[] x = new double[series.points().size()];
			double[] y = new double[x.length];
			int i = 0;
			for (Map.Entry<Integer, List<Double>> point : series.points().entrySet()) {
				Figure figure = Figure.of(String.format(Locale.ROOT, "%s_%s_%d", name, series.along(), point.getKey()),
						series.unit(), point.getValue());
				report.add(figure);
				x[i] = point.getKey();
				y[i] = figure.median();
				i++;
			}
			if (x.length < 2) {
				return;
			}
			addLine(name, series, LinearFit.of(x, y), report);
		});
	}

	private static void addLine(String name, Series series, LinearFit fit, Report report) {
		report.add(Figure.of("slope_" + name + "_per_" + series.along(), series.unit(), List.of(fit.slope())));
		report.add(Figure.of("intercept_" + name, series.unit(), List.of(fit.intercept())));
		report.add(Figure.of("worst_residual_" + name, series.unit(), List.of(fit.worstResidual())));
	}

	/**
	 * The values of one series.
	 *
	 * @param along what differs between the points
	 * @param unit the unit
	 * @param points the values of all runs at each point
	 */
	private record Series(String along, String unit, Map<Integer, List<Double>> points) {

	}

}
