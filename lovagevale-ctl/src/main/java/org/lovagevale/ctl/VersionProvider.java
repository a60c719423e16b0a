package org.lovagevale.ctl;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

import picocli.CommandLine.IVersionProvider;

/**
 * Provides the version that Maven writes to the jar file.
 */
final class VersionProvider implements IVersionProvider {

	private static final String RESOURCE = "/META-INF/maven/org.lovagevale/lovagevale-ctl/pom.properties";

	VersionProvider() {
	}

	@Override
	public String[] getVersion() throws IOException {
		Properties properties = new Properties();
		try (InputStream in = VersionProvider.class.getResourceAsStream(RESOURCE)) {
			if (in != null) {
				properties.load(in);
			}
		}
		return new String[] { "lovagevalectl " + properties.getProperty("version", "(not packaged)") };
	}

}
