package org.lovagevale.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * The options and parameters shared by all commands that request data from a running
 * entry process.
 */
final class AdminRequestOptions {

	@Mixin
	private OutputOption output = new OutputOption();

	@Parameters(index = "0", paramLabel = "HOST:PORT", converter = AdminAddress.Converter.class,
			description = "the admin address of the entry process")
	private AdminAddress address = new AdminAddress("127.0.0.1", 1);

	/**
	 * Sends a request to the admin port and prints the response.
	 * @param path the path, encoded, starting with a slash
	 * @param printer prints the response
	 * @return the exit code
	 * @throws CtlException if the process cannot be reached or does not respond with
	 * status 200 and JSON
	 */
	int sendAndPrint(String path, Printer printer) throws CtlException {
		JsonNode response = new AdminClient(this.address).get(path);
		if (this.output.isJson()) {
			printer.printJson(response);
		}
		else {
			JsonText.toLines(response).forEach(printer::printLine);
		}
		return ExitCode.SUCCESS.value();
	}

}
