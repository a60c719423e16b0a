package org.lovagevale.settings;

import org.lovagevale.settings.model.Settings;

/**
 * Reads a settings tree.
 *
 * <p>
 * Implementations are thread-safe.
 */
public interface SettingsReader {

	/**
	 * Reads and checks a tree.
	 * @param version the version given by the platform, positive
	 * @param content the tree as JSON with comments
	 * @return the settings with all defaults applied
	 * @throws SettingsException if the tree has any error
	 */
	Settings read(long version, String content) throws SettingsException;

}
