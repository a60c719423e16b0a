package org.lovagevale.checks;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;

/**
 * Guards against dependencies of the decision logic on I/O, threads or the system clock,
 * which would break the replay of recorded sessions, and against forbidden dependencies
 * between modules.
 */
@AnalyzeClasses(packages = "org.lovagevale", importOptions = ImportOption.DoNotIncludeTests.class)
class ModuleGraphTests {

	@ArchTest
	void coreUsesNoIoOrConcurrencyLibraries(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.lovagevale.core..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.net..", "java.io..", "java.nio..", "java.util.concurrent..", "io.netty..",
					"reactor..", "org.slf4j..", "com.fasterxml..")
			.check(classes);
	}

	@ArchTest
	void coreUsesNoSystemClockOrThreads(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.lovagevale.core..")
			.should()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.lang.Thread")
			.check(classes);
	}

	@ArchTest
	void coreDependsOnNoOuterModule(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.lovagevale.core..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("org.lovagevale.peer..", "org.lovagevale.platform..", "org.lovagevale.node..",
					"org.lovagevale.ctl..", "org.lovagevale.standins..")
			.check(classes);
	}

	@ArchTest
	void productionModulesDependOnNoStandInsOrBenchmarks(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage("org.lovagevale.base..", "org.lovagevale.settings..", "org.lovagevale.core..",
					"org.lovagevale.peer..", "org.lovagevale.platform..", "org.lovagevale.node..",
					"org.lovagevale.ctl..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("org.lovagevale.standins..", "org.lovagevale.bench..")
			.check(classes);
	}

	@ArchTest
	void settingsDependOnNoOuterModule(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.lovagevale.settings..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("org.lovagevale.core..", "org.lovagevale.peer..", "org.lovagevale.platform..",
					"org.lovagevale.node..")
			.check(classes);
	}

}
