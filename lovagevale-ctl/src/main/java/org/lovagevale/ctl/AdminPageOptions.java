package org.lovagevale.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * The options and parameters shared by all commands that read from a running process.
 */
final class AdminPageOptions {

	@Mixin
	private OutputOption output = new OutputOption();

	@Parameters(index = "0", paramLabel = "HOST:PORT", converter = AdminAddress.Converter.class,
			description = "the admin address of the entry process")
	private AdminAddress address = new AdminAddress("127.0.0.1", 1);

	int print(String path, Printer printer) throws CtlException {
		JsonNode page = new AdminClient(this.address).get(path);
		if (this.output.isJson()) {
			printer.printJson(page);
		}
		else {
			JsonText.toLines(page).forEach(printer::printLine);
		}
		return ExitCode.SUCCESS.value();
	}

}
