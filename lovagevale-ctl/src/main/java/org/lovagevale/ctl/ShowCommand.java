package org.lovagevale.ctl;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lovagevale.settings.EffectiveValue;
import org.lovagevale.settings.Location;
import org.lovagevale.settings.SettingsException;
import org.lovagevale.settings.SettingsOrigins;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Shows the effective values of a branch of a settings tree and the origins of each.
 */
@Command(name = "show", description = "Shows the effective values of a branch and where each comes from.")
final class ShowCommand implements Callable<Integer> {

	private final Printer printer;

	@Mixin
	private OutputOption output = new OutputOption();

	@Parameters(index = "0", paramLabel = "FILE", description = "the settings tree")
	private Path file = Path.of("");

	@Parameters(index = "1", paramLabel = "BRANCH", arity = "0..1",
			description = "the path of the branch, for example services/transfers; the root if not given")
	private String branch = "";

	ShowCommand(Printer printer) {
		this.printer = printer;
	}

	@Override
	public Integer call() throws CtlException {
		SettingsOrigins origins = read(TreeFile.read(this.file));
		List<EffectiveValue> values = origins.values(this.branch).orElse(List.of());
		List<String> branchesBelow = origins.branchesBelow(this.branch);
		if (values.isEmpty() && branchesBelow.isEmpty()) {
			throw new CtlException(ExitCode.USAGE, "no branch \"" + this.branch + "\" in " + this.file
					+ origins.suggestion(this.branch) + " All branches: lovagevalectl show " + this.file);
		}
		if (this.output.isJson()) {
			printJson(values, branchesBelow);
		}
		else {
			printText(values, branchesBelow);
		}
		return ExitCode.SUCCESS.value();
	}

	private static SettingsOrigins read(TreeFile tree) throws CtlException {
		try {
			return SettingsOrigins.read(tree.content());
		}
		catch (SettingsException ex) {
			throw tree.failureOf(ex);
		}
	}

	private void printJson(List<EffectiveValue> values, List<String> branchesBelow) throws CtlException {
		ObjectNode result = Printer.MAPPER.createObjectNode().put("branch", this.branch);
		result.set("values", Printer.MAPPER.valueToTree(values));
		result.set("below", Printer.MAPPER.valueToTree(branchesBelow));
		this.printer.printJson(result);
	}

	private void printText(List<EffectiveValue> values, List<String> branchesBelow) {
		if (!values.isEmpty()) {
			TextTable table = new TextTable().addRow(List.of("NAME", "VALUE", "ORIGIN"));
			values.forEach((value) -> table.addRow(List.of(value.name(), toText(value), originOf(value))));
			table.toLines().forEach(this.printer::printLine);
		}
		if (!branchesBelow.isEmpty()) {
			this.printer.printLine(values.isEmpty() ? "Branches:" : "Branches below:");
			branchesBelow.forEach((path) -> this.printer.printLine("  " + path));
		}
	}

	private static String toText(EffectiveValue value) {
		if (value.value() instanceof List<?> regions) {
			return regions.isEmpty() ? "all" : regions.toString();
		}
		return value.value().toString();
	}

	private static String originOf(EffectiveValue value) {
		return value.origins().stream().map(Location::toString).collect(Collectors.joining(", "));
	}

}
