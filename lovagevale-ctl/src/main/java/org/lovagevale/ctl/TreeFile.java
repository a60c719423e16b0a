package org.lovagevale.ctl;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

import org.lovagevale.settings.JsonSettingsReader;
import org.lovagevale.settings.SettingsException;
import org.lovagevale.settings.model.Settings;

/**
 * A file that contains a settings tree.
 *
 * @param path its path
 * @param content its content
 */
record TreeFile(Path path, String content) {

	/** Well above the size limit of a tree, but small enough to read into memory. */
	private static final long MAX_BYTES = 16_777_216;

	static TreeFile read(Path path) throws CtlException {
		try {
			if (Files.size(path) > MAX_BYTES) {
				throw new CtlException(ExitCode.INCORRECT, path + " is too large for a settings tree");
			}
			return new TreeFile(path, Files.readString(path));
		}
		catch (NoSuchFileException ex) {
			throw new CtlException(ExitCode.ENVIRONMENT, path + " does not exist; check the path");
		}
		catch (CharacterCodingException ex) {
			throw new CtlException(ExitCode.INCORRECT, path + " is not UTF-8; save it as UTF-8");
		}
		catch (IOException ex) {
			throw new CtlException(ExitCode.ENVIRONMENT,
					path + " cannot be read (" + ex.getMessage() + "); check the path");
		}
	}

	Settings toSettings() throws CtlException {
		try {
			return new JsonSettingsReader().read(1, this.content);
		}
		catch (SettingsException ex) {
			throw failureOf(ex);
		}
	}

	/**
	 * Creates the exception of a command that requires a valid tree.
	 * @param ex the errors of the tree
	 * @return the exception to throw
	 */
	CtlException failureOf(SettingsException ex) {
		return new CtlException(ExitCode.INCORRECT,
				this.path + " is not correct (" + describeErrorCount(ex) + "); see lovagevalectl check " + this.path);
	}

	static String describeErrorCount(SettingsException ex) {
		int count = ex.errors().size();
		return count + ((count == 1) ? " error" : " errors");
	}

}
