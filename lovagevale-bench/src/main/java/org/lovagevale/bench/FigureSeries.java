package org.lovagevale.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Collects the values of several runs as series, each over an independent variable, and
 * fits a line to the medians of each series.
 *
 * <p>
 * Thread-safe.
 */
final class FigureSeries {

	private final Map<String, Series> byName = new LinkedHashMap<>();

	/**
	 * Adds the value of one run.
	 * @param series the name of the series
	 * @param variable the name of the independent variable, such as "entries"
	 * @param x the value of the independent variable
	 * @param unit the unit of the value
	 * @param value the value of the run
	 */
	synchronized void add(String series, String variable, int x, String unit, double value) {
		this.byName.computeIfAbsent(series, (name) -> new Series(variable, unit, new TreeMap<>()))
			.points()
			.computeIfAbsent(x, (point) -> new ArrayList<>())
			.add(value);
	}

	/**
	 * Adds the figures of all points and of the fitted lines to a report.
	 * @param report the report
	 */
	synchronized void addTo(Report report) {
		this.byName.forEach((name, series) -> {
			double[] x = new double[series.points().size()];
			double[] y = new double[x.length];
			int i = 0;
			for (Map.Entry<Integer, List<Double>> point : series.points().entrySet()) {
				Figure figure = Figure.of(
						String.format(Locale.ROOT, "%s_%s_%d", name, series.variable(), point.getKey()), series.unit(),
						point.getValue());
				report.add(figure);
				x[i] = point.getKey();
				y[i] = figure.median();
				i++;
			}
			if (x.length < 2) {
				return;
			}
			addFit(name, series, LinearFit.of(x, y), report);
		});
	}

	private static void addFit(String name, Series series, LinearFit fit, Report report) {
		report.add(Figure.of("slope_" + name + "_per_" + series.variable(), series.unit(), List.of(fit.slope())));
		report.add(Figure.of("intercept_" + name, series.unit(), List.of(fit.intercept())));
		report.add(Figure.of("worst_residual_" + name, series.unit(), List.of(fit.worstResidual())));
	}

	/**
	 * The values of one series.
	 *
	 * @param variable the name of the independent variable
	 * @param unit the unit of the values
	 * @param points the values of all runs, by value of the independent variable
	 */
	private record Series(String variable, String unit, Map<Integer, List<Double>> points) {

	}

}
