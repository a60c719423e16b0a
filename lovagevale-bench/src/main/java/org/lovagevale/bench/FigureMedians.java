package org.lovagevale.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The medians of figures, read from a file of JSON lines.
 *
 * <p>
 * Immutable and thread-safe.
 */
final class FigureMedians {

	private final Map<String, Double> medians;

	private FigureMedians(Map<String, Double> medians) {
		this.medians = Map.copyOf(medians);
	}

	static FigureMedians of(List<String> lines) throws IOException {
		ObjectMapper mapper = new ObjectMapper();
		Map<String, Double> medians = new HashMap<>();
		for (String line : lines) {
			try {
				JsonNode figure = mapper.readTree(line);
				medians.put(figure.path("name").asText(), figure.path("median").asDouble());
			}
			catch (JsonProcessingException ex) {
				throw new IOException("figure is not valid JSON: " + line, ex);
			}
		}
		return new FigureMedians(medians);
	}

	/**
	 * Reads the figures of a benchmark.
	 * @param folder the folder of the file
	 * @param name the name of the benchmark
	 * @return the figures, empty if the file does not exist
	 * @throws IOException if the file cannot be read
	 */
	static FigureMedians read(Path folder, String name) throws IOException {
		Path file = folder.resolve(name + ".jsonl");
		return of(Files.exists(file) ? Files.readAllLines(file) : List.of());
	}

	boolean isEmpty() {
		return this.medians.isEmpty();
	}

	OptionalDouble median(String name) {
		Double value = this.medians.get(name);
		return (value != null) ? OptionalDouble.of(value) : OptionalDouble.empty();
	}

	/**
	 * Estimates the value of a series at a point. Between measured points the estimate is
	 * interpolated linearly from the two nearest ones. Outside of them it is extrapolated
	 * along the line fitted to all points.
	 * @param series the name of the series followed by that of the independent variable,
	 * such as "tick_servers"
	 * @param x the value of the independent variable
	 * @return the estimate
	 * @throws IOException if the series has fewer than two points
	 */
	Estimate estimateAt(String series, double x) throws IOException {
		TreeMap<Double, Double> points = points(series);
		if (points.size() < 2) {
			throw new IOException("no series " + series
					+ " with at least 2 points in the figures; run bin/bench control --out DIR first");
		}
		Map.Entry<Double, Double> below = points.floorEntry(x);
		Map.Entry<Double, Double> above = points.ceilingEntry(x);
		if (below == null || above == null) {
			return new Estimate(extrapolate(points, x), Basis.EXTRAPOLATED);
		}
		if (below.getKey().equals(above.getKey())) {
			return new Estimate(below.getValue(), Basis.MEASURED);
		}
		double fraction = (x - below.getKey()) / (above.getKey() - below.getKey());
		return new Estimate(below.getValue() + fraction * (above.getValue() - below.getValue()), Basis.INTERPOLATED);
	}

	private TreeMap<Double, Double> points(String series) {
		TreeMap<Double, Double> points = new TreeMap<>();
		String prefix = series + "_";
		this.medians.forEach((name, value) -> {
			if (name.startsWith(prefix) && name.substring(prefix.length()).matches("[0-9]+")) {
				points.put(Double.valueOf(name.substring(prefix.length())), value);
			}
		});
		return points;
	}

	private static double extrapolate(TreeMap<Double, Double> points, double x) {
		List<Double> xs = new ArrayList<>(points.keySet());
		LinearFit fit = LinearFit.of(xs.stream().mapToDouble(Double::doubleValue).toArray(),
				points.values().stream().mapToDouble(Double::doubleValue).toArray());
		return fit.intercept() + fit.slope() * x;
	}

	/**
	 * How an estimate was obtained, in order of decreasing accuracy.
	 */
	enum Basis {

		/** Measured at the point itself. */
		MEASURED,

		/** Interpolated between two measured points. */
		INTERPOLATED,

		/** Extrapolated beyond the measured points. */
		EXTRAPOLATED

	}

	/**
	 * The estimated value of a series at a point.
	 *
	 * @param value the value
	 * @param basis how the value was obtained
	 */
	record Estimate(double value, Basis basis) {

		/**
		 * Adds another estimate, multiplied by a factor. The sum has the less accurate
		 * basis of the two.
		 * @param other the other estimate
		 * @param factor the factor by which the other estimate is multiplied
		 * @return the sum
		 */
		Estimate plus(Estimate other, double factor) {
			Basis lessAccurate = (this.basis.compareTo(other.basis) >= 0) ? this.basis : other.basis;
			return new Estimate(this.value + factor * other.value, lessAccurate);
		}

	}

}
