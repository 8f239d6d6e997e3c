package org.fuchsiatrail.daemon;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

class ArchitectureTest {

    private final JavaClasses outer =
            new ClassFileImporter().importPackages("org.fuchsiatrail.daemon", "org.fuchsiatrail.wire");

    @Test
    void should_use_the_core_through_its_public_package_alone() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.fuchsiatrail.internal..")
                .check(outer);
    }

    @Test
    void should_start_no_other_process() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.ProcessBuilder")
                .orShould()
                .callMethod(Runtime.class, "exec", String.class)
                .check(outer);
    }
}
