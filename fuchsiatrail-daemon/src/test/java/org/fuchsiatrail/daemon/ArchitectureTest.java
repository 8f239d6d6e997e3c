package org.fuchsiatrail.daemon;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/** Checks the dependency rules of the packages org.fuchsiatrail.daemon and org.fuchsiatrail.wire. */
class ArchitectureTest {

    private final JavaClasses checkedClasses =
            new ClassFileImporter().importPackages("org.fuchsiatrail.daemon", "org.fuchsiatrail.wire");

    @Test
    void should_use_only_the_public_package_of_the_core() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.fuchsiatrail.internal..")
                .check(checkedClasses);
    }

    @Test
    void should_start_no_other_process() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.ProcessBuilder")
                .orShould()
                .callMethod(Runtime.class, "exec", String.class)
                .check(checkedClasses);
    }
}
