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
 * The medians of figures, read from lines of JSON.
 *
 * <p>
 * Immutable and thread-safe.
 */
final class FigureFile {

	private final Map<String, Double> medians;

	private FigureFile(Map<String, Double> medians) {
		this.medians = Map.copyOf(medians);
	}

	static FigureFile of(List<String> lines) throws IOException {
		ObjectMapper mapper = new ObjectMapper();
		Map<String, Double> medians = new HashMap<>();
		for (String line : lines) {
			try {
				JsonNode figure = mapper.readTree(line);
				medians.put(figure.path("name").asText(), figure.path("median").asDouble());
			}
			catch (JsonProcessingException ex) {
				throw new IOException("not a line of JSON: " + line, ex);
			}
		}
		return new FigureFile(medians);
	}

	/**
	 * Reads the figures of a measurement.
	 * @param folder the folder
	 * @param name the name of the measurement
	 * @return the figures, none if there is no such file
	 * @throws IOException if the file cannot be read
	 */
	static FigureFile read(Path folder, String name) throws IOException {
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
	 * Returns the value of a series at a point: the line between the two nearest measured
	 * points, or outside of them the line through all points.
	 * @param series the series with the name of what differs, as in "tick_servers"
	 * @param x the point
	 * @return the value and where it comes from
	 * @throws IOException if the series has less than two points
	 */
	Estimate at(String series, double x) throws IOException {
		TreeMap<Double, Double> points = points(series);
		if (points.size() < 2) {
			throw new IOException("no series " + series + " in the figures; run bin/bench control --out DIR first");
		}
		Map.Entry<Double, Double> below = points.floorEntry(x);
		Map.Entry<Double, Double> above = points.ceilingEntry(x);
		if (below == null || above == null) {
			return new Estimate(extrapolate(points, x), Basis.EXTRAPOLATED);
		}
		if (below.getKey().equals(above.getKey())) {
			return new Estimate(below.getValue(), Basis.MEASURED);
		}
		double share = (x - below.getKey()) / (above.getKey() - below.getKey());
		return new Estimate(below.getValue() + share * (above.getValue() - below.getValue()), Basis.INTERPOLATED);
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
	 * Where a value comes from.
	 */
	enum Basis {

		/** At a measured point. */
		MEASURED,

		/** Between two measured points. */
		INTERPOLATED,

		/** Outside of the measured points. */
		EXTRAPOLATED

	}

	/**
	 * A value at a point.
	 *
	 * @param value the value
	 * @param basis where it comes from
	 */
	record Estimate(double value, Basis basis) {

		/**
		 * Adds another value; the result has the weaker basis.
		 * @param other the other value
		 * @param factor the factor of the other value
		 * @return the sum
		 */
		Estimate plus(Estimate other, double factor) {
			Basis weaker = (this.basis.compareTo(other.basis) >= 0) ? this.basis : other.basis;
			return new Estimate(this.value + factor * other.value, weaker);
		}

	}

}
