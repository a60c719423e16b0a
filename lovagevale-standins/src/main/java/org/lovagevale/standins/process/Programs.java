package org.lovagevale.standins.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Builds the command lines that start stand-ins and entry processes.
 *
 * <p>
 * Immutable and thread-safe.
 */
public final class Programs {

	private static final String STANDINS_MODULE = "lovagevale-standins";

	private final Path root;

	private final Path standinsJar;

	/**
	 * Locates the jar of the stand-ins.
	 * @param root the root directory of the project, in which the jars were built
	 * @throws IOException if the project has not been built
	 */
	public Programs(Path root) throws IOException {
		this.root = root;
		this.standinsJar = findJar(root, STANDINS_MODULE);
	}

	/**
	 * Returns the root directory of the project.
	 * @return the directory
	 */
	public Path root() {
		return this.root;
	}

	/**
	 * Returns the command line of a stand-in.
	 * @param heapMb the maximum heap size in megabytes
	 * @param args the subcommand of {@code standins} and its arguments
	 * @return the command line
	 */
	public List<String> standInCommand(int heapMb, List<String> args) {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.add("-Xmx" + heapMb + "m");
		command.add("--enable-native-access=ALL-UNNAMED");
		command.add("-jar");
		command.add(this.standinsJar.toString());
		command.addAll(args);
		return command;
	}

	/**
	 * Returns the command line of an entry process.
	 * @param vm the name of its VM
	 * @param platform the base URL of the platform
	 * @return the command line
	 */
	public List<String> entryCommand(String vm, String platform) {
		String script = this.root.resolve("bin/lovagevale").toString();
		return List.of(script, "--vm", vm, "--platform", platform);
	}

	private static Path findJar(Path root, String module) throws IOException {
		Path target = root.resolve(module).resolve("target");
		if (Files.isDirectory(target)) {
			try (Stream<Path> files = Files.list(target)) {
				List<Path> jars = files.filter((file) -> file.toString().endsWith("-all.jar")).toList();
				if (!jars.isEmpty()) {
					return jars.get(0);
				}
			}
		}
		throw new IOException(module + " is not built; run bin/test first");
	}

}
