package org.lovagevale.settings;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the example trees in the directory "examples".
 */
final class ExampleTrees {

	static final Path ROOT = Path.of(System.getProperty("lovagevale.root", ".."));

	private ExampleTrees() {
	}

	static String read(String name) {
		try {
			return Files.readString(ROOT.resolve("examples").resolve(name).resolve("settings.jsonc"));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
