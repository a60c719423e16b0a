package org.lovagevale.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a reference page that does not match the table used by the checks.
 */
class SettingsReferenceTests {

	@Test
	void pageIsUpToDate() throws IOException {
		Path page = ExampleTrees.ROOT.resolve("docs/settings-reference.md");
		if (Boolean.getBoolean("lovagevale.writeReference")) {
			Files.writeString(page, SettingsReference.toMarkdown());
		}
		assertThat(page).hasContent(SettingsReference.toMarkdown());
	}

}
