/** The design matrix of a ridge regression, as it is restored from a stored record. */

import { EigenvalueDecomposition, Matrix } from 'ml-matrix';
import { MIN_DESIGN_EIGENVALUE } from '../../constants/scheduling.js';

/** A design matrix and its inverse. */
export interface RestoredDesign {
  design: Matrix;
  inverse: Matrix;
  /** Whether the matrix was invalid and was replaced by a valid one close to it. */
  isRepaired: boolean;
}

/**
 * Inverts a symmetric matrix that was the identity plus a sum of x·xᵀ before it was stored. Such a
 * matrix has no eigenvalue below 1. Earlier versions rounded each cell to five digits, so that the
 * identity was lost in large sums and the matrix became singular or indefinite. The lowered
 * eigenvalues of such a matrix are raised to 1.
 */
export function restoreDesign(stored: Matrix): RestoredDesign {
  const { eigenvectorMatrix, realEigenvalues } = new EigenvalueDecomposition(stored, {
    assumeSymmetric: true,
  });
  const isRepaired = !realEigenvalues.every((value) => value >= MIN_DESIGN_EIGENVALUE);
  const eigenvalues = isRepaired
    ? realEigenvalues.map((value) => Math.max(1, value))
    : realEigenvalues;
  const compose = (diagonal: number[]): Matrix =>
    eigenvectorMatrix.mmul(Matrix.diag(diagonal)).mmul(eigenvectorMatrix.transpose());
  const design = isRepaired ? compose(eigenvalues) : stored;
  return { design, inverse: compose(eigenvalues.map((value) => 1 / value)), isRepaired };
}
