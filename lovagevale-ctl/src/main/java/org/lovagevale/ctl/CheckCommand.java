package org.lovagevale.ctl;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lovagevale.settings.JsonSettingsReader;
import org.lovagevale.settings.SettingsError;
import org.lovagevale.settings.SettingsException;
import org.lovagevale.settings.model.Settings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Checks a settings tree and lists every error.
 */
@Command(name = "check", description = "Checks a settings tree and lists every error.")
final class CheckCommand implements Callable<Integer> {

	private final Printer printer;

	@Mixin
	private OutputOption output = new OutputOption();

	@Parameters(index = "0", paramLabel = "FILE", description = "the settings tree")
	private Path file = Path.of("");

	CheckCommand(Printer printer) {
		this.printer = printer;
	}

	@Override
	public Integer call() throws CtlException {
		TreeFile tree = TreeFile.read(this.file);
		try {
			Settings settings = new JsonSettingsReader().read(1, tree.content());
			printSummary(settings);
			return ExitCode.SUCCESS.value();
		}
		catch (SettingsException ex) {
			printErrors(ex.errors());
			throw new CtlException(ExitCode.INCORRECT,
					TreeFile.describeErrorCount(ex) + " in " + this.file + "; correct them before publishing");
		}
	}

	private void printSummary(Settings settings) throws CtlException {
		long servers = settings.services().stream().mapToLong((service) -> service.servers().size()).sum();
		if (this.output.isJson()) {
			ObjectNode summary = Printer.MAPPER.createObjectNode();
			summary.put("correct", true).put("deployment", settings.deployment());
			summary.put("domains", settings.domains().size()).put("entryVms", settings.entryVms().size());
			summary.put("services", settings.services().size()).put("servers", servers);
			summary.put("accounts", settings.accounts().size());
			this.printer.printJson(summary);
			return;
		}
		this.printer
			.printLine(this.file + " is correct: deployment " + settings.deployment() + ", " + settings.domains().size()
					+ " failure domains, " + settings.entryVms().size() + " entry VMs, " + settings.services().size()
					+ " services, " + servers + " backend servers, " + settings.accounts().size() + " client accounts");
	}

	private void printErrors(List<SettingsError> errors) throws CtlException {
		if (this.output.isJson()) {
			ObjectNode result = Printer.MAPPER.createObjectNode().put("correct", false);
			result.set("errors", Printer.MAPPER.valueToTree(errors));
			this.printer.printJson(result);
			return;
		}
		for (SettingsError error : errors) {
			String pathPrefix = error.path().isEmpty() ? "" : error.path() + ": ";
			this.printer
				.printLine(this.file + ":" + error.line() + ":" + error.column() + ": " + pathPrefix + error.reason());
		}
	}

}
