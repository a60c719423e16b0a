package org.lovagevale.settings;

import org.lovagevale.settings.model.Settings;

/**
 * Reads settings trees written as JSON with comments.
 *
 * <p>
 * All errors of a tree are reported together. Thread-safe.
 */
public final class JsonSettingsReader implements SettingsReader {

	private final TreeReader treeReader = new TreeReader();

	private final SettingsAssembler assembler = new SettingsAssembler();

	/**
	 * Creates a reader.
	 */
	public JsonSettingsReader() {
	}

	@Override
	public Settings read(long version, String content) throws SettingsException {
		if (version < 1) {
			throw new IllegalArgumentException("version must be positive: " + version);
		}
		return this.assembler.assemble(version, this.treeReader.read(content));
	}

}
