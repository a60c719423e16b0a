package org.lovagevale.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.lovagevale.standins.http.Json;

/**
 * The figures of a benchmark run and the problems that make the run invalid.
 *
 * <p>
 * Not thread-safe.
 */
final class Report {

	private final PrintWriter out;

	private final List<Figure> figures = new ArrayList<>();

	private final List<String> problems = new ArrayList<>();

	Report(PrintWriter out) {
		this.out = out;
	}

	void printLine(String line) {
		this.out.println(line);
		this.out.flush();
	}

	void add(Figure figure) {
		this.figures.add(figure);
	}

	void addProblem(String problem) {
		printLine("INVALID: " + problem);
		this.problems.add(problem);
	}

	boolean isValid() {
		return this.problems.isEmpty();
	}

	void printTable() {
		printLine(String.format(Locale.ROOT, "%-52s %12s %12s %12s %5s  %s", "figure", "median", "min", "max", "runs",
				"unit"));
		for (Figure figure : this.figures) {
			printLine(String.format(Locale.ROOT, "%-52s %12.4f %12.4f %12.4f %5d  %s", figure.name(), figure.median(),
					figure.min(), figure.max(), figure.runs(), figure.unit()));
		}
		printLine(isValid() ? "The run is valid."
				: "The run is NOT valid: " + this.problems.size() + " problems are listed above.");
	}

	void writeFile(Path folder, String name) throws IOException {
		Files.createDirectories(folder);
		List<String> lines = this.figures.stream().map(Json::write).toList();
		Files.write(folder.resolve(name + ".jsonl"), lines);
	}

	void printJsonLines() {
		this.figures.stream().map(Json::write).forEach(this::printLine);
	}

}
