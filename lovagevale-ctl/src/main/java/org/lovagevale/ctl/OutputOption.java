package org.lovagevale.ctl;

import picocli.CommandLine.Option;

/**
 * The option {@code --output} of every subcommand.
 */
final class OutputOption {

	@Option(names = "--output", paramLabel = "FORMAT", description = "text (default) or json")
	private OutputFormat format = OutputFormat.TEXT;

	boolean isJson() {
		return this.format == OutputFormat.JSON;
	}

}
